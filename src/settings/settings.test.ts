/**
 * Parsing of settings files: valid input is accepted, and errors name the file, line and field.
 */

import { expect, test } from "vitest";
import { describeSettingsError, parseSettings } from "./settings.js";

const valid = `{
    // An agent beside an engine.
    "role": "agent",
    "host": "host-1",
    "dataCentre": "khomas-a",
    "region": "khomas",
    "listen": { "address": "127.0.0.1", "port": 4200 },
    "endpoint": "decode-1",
    "endpointUrl": "http://127.0.0.1:9000",
    "entryUrls": ["http://127.0.0.1:4100"],
}`;

test("comments and trailing commas are accepted", () => {
    const parsed = parseSettings("agent.jsonc", valid);
    expect(parsed.isOk && parsed.value.role).toBe("agent");
});

const errors = [
    { name: "a field of the wrong type", from: "4200", to: "\"x\"", error: "agent.jsonc:7: listen.port: " },
    {
        name: "an unknown field",
        from: "\"host\":",
        to: "\"hots\": 1, \"host\":",
        error: "agent.jsonc:4: hots: unknown field",
    },
    { name: "a missing field", from: "\"endpoint\": \"decode-1\",", to: "", error: "endpoint: " },
    { name: "an unknown role", from: "\"agent\"", to: "\"agnet\"", error: "agent.jsonc:3: role: " },
    {
        name: "a host name instead of an IP address",
        from: "127.0.0.1:9000",
        to: "engine:9000",
        error: "agent.jsonc:9: endpointUrl: expected a URL with an IP address",
    },
    { name: "broken syntax", from: "\"region\":", to: "\"region\"", error: "agent.jsonc:6: " },
] as const;

test.each(errors)("$name is refused with file, line and path", ({ from, to, error }) => {
    const parsed = parseSettings("agent.jsonc", valid.replace(from, to));
    expect(parsed.isErr && describeSettingsError(parsed.error)).toContain(error);
});
