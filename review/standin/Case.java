import java.lang.reflect.InvocationTargetException;

/** Runs the case class named by the first argument. Exits with 2 if the case cannot run, also after 115 s. */
final class Case {
    private static final long LIMIT_MILLIS = 115_000;

    public static void main(String[] args) {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("the case has not ended after " + LIMIT_MILLIS + " ms");
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            Class<?> c = Class.forName(args[0]);
            c.getDeclaredMethod("main", String[].class).invoke(null, (Object) new String[] {args[1]});
        } catch (InvocationTargetException e) {
            e.getCause().printStackTrace();
            System.exit(2);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(2);
    }
}
