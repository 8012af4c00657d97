#include <Config/Schemas.h>

namespace Hibiscus {

namespace {

// Unknown keys are rejected by {"not": {}} instead of false, so that valijson reports each of them
// with its own place. The schemas use no patterns, because std::regex recurses over its input; code
// checks the characters of names instead.
constexpr std::string_view definitionsText = R"json({
"none": {"not": {}},
"id": {"type": "string", "minLength": 1, "maxLength": 128},
"text": {"type": "string", "maxLength": 4096},
"hex": {"type": "string", "minLength": 16, "maxLength": 128},
"count": {"type": "integer", "minimum": 0, "maximum": 1000000},
"share": {"type": "number", "minimum": 0, "maximum": 1},
"milliseconds": {"type": "integer", "minimum": 1, "maximum": 31536000000},
"shortMilliseconds": {"type": "integer", "minimum": 1, "maximum": 3600000},
"port": {"type": "integer", "minimum": 0, "maximum": 65535},
"revision": {"type": "integer", "minimum": 0, "maximum": 999999999999},

"cells": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
    "slot": {"$ref": "#/definitions/count"}, "pair": {"$ref": "#/definitions/count"},
    "quad": {"$ref": "#/definitions/count"}, "worker": {"$ref": "#/definitions/count"},
    "rack": {"$ref": "#/definitions/count"}}},
"key": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["name", "role", "salt", "hash"], "properties": {
    "name": {"$ref": "#/definitions/id"}, "role": {"enum": ["caller", "operator"]},
    "salt": {"$ref": "#/definitions/hex"}, "hash": {"$ref": "#/definitions/hex"}}},
"customer": {"type": "object", "additionalProperties": {"not": {}}, "required": ["name"],
    "properties": {
    "name": {"$ref": "#/definitions/id"},
    "guarantees": {"type": "object", "maxProperties": 64,
        "additionalProperties": {"$ref": "#/definitions/cells"}},
    "share": {"type": "number", "minimum": 0, "maximum": 1000000},
    "waitingCallers": {"type": "integer", "minimum": 0, "maximum": 100000},
    "keys": {"type": "array", "maxItems": 32, "items": {"$ref": "#/definitions/key"}}}},
"limits": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
    "queuedPerCustomer": {"$ref": "#/definitions/count"},
    "keptShare": {"$ref": "#/definitions/share"},
    "largestShare": {"$ref": "#/definitions/share"},
    "ageingMs": {"$ref": "#/definitions/milliseconds"},
    "longestRunMs": {"$ref": "#/definitions/milliseconds"}}},
"preset": {"type": "object", "additionalProperties": {"not": {}}, "required": ["name"],
    "properties": {
    "name": {"$ref": "#/definitions/id"},
    "lending": {"type": "boolean"},
    "classes": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
        "urgent": {"$ref": "#/definitions/limits"}, "standard": {"$ref": "#/definitions/limits"},
        "background": {"$ref": "#/definitions/limits"}}},
    "closedDataCenters": {"type": "array", "maxItems": 64,
        "items": {"$ref": "#/definitions/id"}}}},
"configuration": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["revision", "customers", "presets", "presetInForce"], "properties": {
    "revision": {"$ref": "#/definitions/revision"},
    "customers": {"type": "array", "items": {"$ref": "#/definitions/customer"}},
    "presets": {"type": "array", "items": {"$ref": "#/definitions/preset"}},
    "presetInForce": {"type": "string", "maxLength": 128}}},

"change": {"type": "object", "additionalProperties": {"not": {}}, "required": ["changeId"],
    "properties": {
    "changeId": {"$ref": "#/definitions/id"},
    "basedOn": {"$ref": "#/definitions/revision"},
    "putCustomer": {"$ref": "#/definitions/customer"},
    "removeCustomer": {"$ref": "#/definitions/id"},
    "putPreset": {"$ref": "#/definitions/preset"},
    "removePreset": {"$ref": "#/definitions/id"},
    "switchPreset": {"$ref": "#/definitions/id"}}},
"changeRecord": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["revision", "author", "change"], "properties": {
    "revision": {"$ref": "#/definitions/revision"},
    "author": {"type": "string", "maxLength": 300},
    "change": {"$ref": "#/definitions/change"}}},
"snapshot": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["configuration", "recentChanges"], "properties": {
    "configuration": {"$ref": "#/definitions/configuration"},
    "recentChanges": {"type": "array", "items": {"type": "object",
        "additionalProperties": {"not": {}}, "required": ["changeId", "revision"],
        "properties": {"changeId": {"$ref": "#/definitions/id"},
            "revision": {"$ref": "#/definitions/revision"}}}}}},

"request": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["requestId", "kind"], "properties": {
    "requestId": {"$ref": "#/definitions/id"}, "kind": {"$ref": "#/definitions/id"},
    "urgency": {"enum": ["urgent", "standard", "background"]},
    "idempotent": {"type": "boolean"},
    "accelerators": {"type": "integer", "minimum": 0, "maximum": 1024},
    "adjacency": {"enum": ["any", "worker", "rack", "neighboring-racks"]},
    "memoryMiB": {"type": "integer", "minimum": 0, "maximum": 16777216},
    "declaredRunTimeMs": {"$ref": "#/definitions/milliseconds"},
    "deadlineMs": {"$ref": "#/definitions/milliseconds"},
    "payload": {"type": "string"}, "wait": {"type": "boolean"}, "retry": {"type": "boolean"}}},
"answer": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["requestId", "status"], "properties": {
    "requestId": {"$ref": "#/definitions/id"}, "status": {"type": "string"},
    "result": {"type": "string"}, "reason": {"type": "string"},
    "retryAfterMs": {"type": "integer", "minimum": 0, "maximum": 31536000000}}},

"callers": {"type": "object", "additionalProperties": {"not": {}}, "required": ["host"],
    "properties": {"host": {"type": "string"}, "port": {"$ref": "#/definitions/port"},
    "threads": {"type": "integer", "minimum": 1, "maximum": 1024},
    "largestBodyBytes": {"type": "integer", "minimum": 1024, "maximum": 1048576}}},
"urgentCallers": {"type": "object", "additionalProperties": {"not": {}}, "required": ["host"],
    "properties": {"host": {"type": "string"}, "port": {"$ref": "#/definitions/port"},
    "threads": {"type": "integer", "minimum": 1, "maximum": 1024}}},
"listener": {"type": "object", "additionalProperties": {"not": {}}, "required": ["host"],
    "properties": {"host": {"type": "string"}, "port": {"$ref": "#/definitions/port"}}},
"instanceSettings": {"type": "object", "additionalProperties": {"not": {}},
    "required": ["instance", "dataCenter", "callers", "urgentCallers", "operators", "health",
        "peers", "store", "liveList"],
    "properties": {
    "instance": {"$ref": "#/definitions/id"}, "dataCenter": {"$ref": "#/definitions/id"},
    "region": {"$ref": "#/definitions/id"},
    "callers": {"$ref": "#/definitions/callers"},
    "urgentCallers": {"$ref": "#/definitions/urgentCallers"},
    "operators": {"$ref": "#/definitions/listener"},
    "health": {"$ref": "#/definitions/listener"},
    "tls": {"type": "object", "additionalProperties": {"not": {}},
        "required": ["certificateFile", "keyFile"], "properties": {
        "certificateFile": {"$ref": "#/definitions/text"},
        "keyFile": {"$ref": "#/definitions/text"}}},
    "peers": {"type": "object", "additionalProperties": {"not": {}},
        "required": ["host", "clusterKeyFile"], "properties": {
        "host": {"type": "string"}, "port": {"$ref": "#/definitions/port"},
        "clusterKeyFile": {"type": "string", "minLength": 1, "maxLength": 4096}}},
    "store": {"type": "object", "additionalProperties": {"not": {}}, "required": ["host", "port"],
        "properties": {"host": {"type": "string"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "timeoutMs": {"$ref": "#/definitions/shortMilliseconds"}}},
    "liveList": {"type": "object", "additionalProperties": {"not": {}},
        "required": ["host", "port"], "properties": {"host": {"type": "string"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "intervalMs": {"$ref": "#/definitions/shortMilliseconds"}}},
    "operatorKeys": {"type": "array", "maxItems": 64, "items": {"$ref": "#/definitions/key"}},
    "drainMs": {"$ref": "#/definitions/milliseconds"},
    "log": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
        "file": {"type": "string", "minLength": 1, "maxLength": 4096},
        "layout": {"enum": ["plain", "json"]},
        "level": {"enum": ["trace", "debug", "info", "warn", "error"]}}},
    "limits": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
        "waitingCallers": {"type": "integer", "minimum": 1, "maximum": 100000},
        "retryShare": {"$ref": "#/definitions/share"}}},
    "ledger": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
        "shards": {"type": "integer", "minimum": 1, "maximum": 4096},
        "commitSpacingMs": {"$ref": "#/definitions/shortMilliseconds"}}},
    "leases": {"type": "object", "additionalProperties": {"not": {}}, "properties": {
        "ownerMs": {"$ref": "#/definitions/shortMilliseconds"},
        "taskMs": {"$ref": "#/definitions/shortMilliseconds"},
        "renewMs": {"$ref": "#/definitions/shortMilliseconds"}}}}}
})json";

} // namespace

std::string_view schemaDefinitions()
{
    return definitionsText;
}

} // namespace Hibiscus
