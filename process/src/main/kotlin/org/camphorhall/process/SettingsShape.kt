package org.camphorhall.process

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private const val DISCRIMINATOR = "type"

/** Validates the structure and the types of [tree] against [descriptor] and returns all differences. */
internal fun shapeProblems(descriptor: SerialDescriptor, tree: JsonElement): List<SettingsProblem> =
    buildList { compare(descriptor, tree, "", this) }

@OptIn(ExperimentalSerializationApi::class)
private fun compare(d: SerialDescriptor, e: JsonElement, path: String, out: MutableList<SettingsProblem>) {
    if (e is JsonNull && d.isNullable) return
    if (d.isInline) {
        val inner = mutableListOf<SettingsProblem>()
        compare(d.getElementDescriptor(0), e, path, inner)
        val secret = d.serialName.removeSuffix("?") == Secret.serializer().descriptor.serialName
        out += if (secret) inner.map { it.copy(found = Secret.HIDDEN) } else inner
        return
    }
    when (val kind = d.kind) {
        is PrimitiveKind -> comparePrimitive(kind, e, path, out)
        SerialKind.ENUM -> if (e !is JsonPrimitive || !e.isString || e.content !in d.elementNames) {
            out += SettingsProblem(path, render(e), "one of ${d.elementNames.joinToString()}")
        }
        StructureKind.LIST -> if (e is JsonArray) {
            e.forEachIndexed { i, v -> compare(d.getElementDescriptor(0), v, "$path[$i]", out) }
        } else {
            out += SettingsProblem(path, render(e), "a list")
        }
        StructureKind.MAP -> if (e is JsonObject) {
            e.forEach { (k, v) -> compare(d.getElementDescriptor(1), v, child(path, k), out) }
        } else {
            out += SettingsProblem(path, render(e), "an object")
        }
        StructureKind.CLASS, StructureKind.OBJECT -> compareObject(d, e, path, emptySet(), out)
        PolymorphicKind.SEALED -> compareSealed(d, e, path, out)
        else -> Unit
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun compareObject(
    d: SerialDescriptor,
    e: JsonElement,
    path: String,
    extra: Set<String>,
    out: MutableList<SettingsProblem>,
) {
    if (e !is JsonObject) {
        out += SettingsProblem(path, render(e), "an object with ${d.elementNames.joinToString()}")
        return
    }
    for (k in e.keys - d.elementNames.toSet() - extra) {
        val fields = d.elementNames.joinToString().ifEmpty { "no field" }
        out += SettingsProblem(child(path, k), "unknown field", "one of the fields $fields")
    }
    d.elementNames.forEachIndexed { i, name ->
        val v = e[name]
        val field = d.getElementDescriptor(i)
        if (v != null) {
            compare(field, v, child(path, name), out)
        } else if (!d.isElementOptional(i)) {
            out += SettingsProblem(child(path, name), "missing field", describe(field))
        }
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun compareSealed(d: SerialDescriptor, e: JsonElement, path: String, out: MutableList<SettingsProblem>) {
    val cases = d.getElementDescriptor(1).elementDescriptors.associateBy { it.serialName }
    val type = ((e as? JsonObject)?.get(DISCRIMINATOR) as? JsonPrimitive)?.content
    val case = cases[type]
    if (case == null) {
        val found = if (e is JsonObject && DISCRIMINATOR !in e) "missing field" else type ?: render(e)
        out += SettingsProblem(child(path, DISCRIMINATOR), found, "one of ${cases.keys.joinToString()}")
    } else {
        compareObject(case, e, path, setOf(DISCRIMINATOR), out)
    }
}

private fun comparePrimitive(kind: PrimitiveKind, e: JsonElement, path: String, out: MutableList<SettingsProblem>) {
    val p = e as? JsonPrimitive
    val ok = p != null && p !is JsonNull && when (kind) {
        PrimitiveKind.STRING -> p.isString
        PrimitiveKind.CHAR -> p.isString && p.content.length == 1
        PrimitiveKind.BOOLEAN -> !p.isString && p.booleanOrNull != null
        PrimitiveKind.FLOAT, PrimitiveKind.DOUBLE -> !p.isString && p.doubleOrNull?.isFinite() == true
        else -> !p.isString && p.longOrNull in range(kind)
    }
    if (!ok) out += SettingsProblem(path, render(e), valid(kind))
}

private operator fun LongRange.contains(v: Long?): Boolean = v != null && v >= first && v <= last

private fun range(kind: PrimitiveKind): LongRange = when (kind) {
    PrimitiveKind.BYTE -> Byte.MIN_VALUE.toLong()..Byte.MAX_VALUE
    PrimitiveKind.SHORT -> Short.MIN_VALUE.toLong()..Short.MAX_VALUE
    PrimitiveKind.INT -> Int.MIN_VALUE.toLong()..Int.MAX_VALUE
    else -> Long.MIN_VALUE..Long.MAX_VALUE
}

private fun valid(kind: PrimitiveKind): String = when (kind) {
    PrimitiveKind.STRING -> "a string"
    PrimitiveKind.CHAR -> "a string of one character"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.FLOAT, PrimitiveKind.DOUBLE -> "a number"
    else -> range(kind).let { "a whole number from ${it.first} to ${it.last}" }
}

@OptIn(ExperimentalSerializationApi::class)
private fun describe(d: SerialDescriptor): String = when (val kind = d.kind) {
    is PrimitiveKind -> valid(kind)
    SerialKind.ENUM -> "one of ${d.elementNames.joinToString()}"
    StructureKind.LIST -> "a list"
    else -> if (d.isInline) describe(d.getElementDescriptor(0)) else "an object"
}

private fun child(path: String, name: String): String = if (path.isEmpty()) name else "$path.$name"

private fun render(e: JsonElement): String = when (e) {
    is JsonObject -> "an object"
    is JsonArray -> "a list"
    else -> e.toString()
}
