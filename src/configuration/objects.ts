/**
 * The objects that operators configure: their schemas and the references between them.
 */

import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "expected a name of a-z, 0-9, '.', '_' or '-'");
const positive = z.number().positive();

/** Default parameters for client accounts; an account's own parameters override them. */
const templateSchema = z.strictObject({
    ratePerSecond: positive,
    burstRequests: positive.min(1),
    weight: positive.default(1),
    deferrableModels: z.array(name).default([]),
});

const accountSchema = z.strictObject({
    template: name,
    ratePerSecond: positive.optional(),
    burstRequests: positive.min(1).optional(),
    weight: positive.optional(),
    deferrableModels: z.array(name).optional(),
});

const keySchema = z.strictObject({
    clientAccount: name,
    /** SHA-256 of the key, in hexadecimal; the key itself is never stored. */
    digestHex: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
    state: z.enum(["active", "withdrawn"]).default("active"),
});

const poolSchema = z.strictObject({
    model: name,
    kvBytesPerToken: positive,
    maxOutputTokens: z.number().int().positive(),
});

const endpointSchema = z.strictObject({
    pool: name,
    role: z.enum(["prefill", "decode", "plain"]),
    slots: z.number().int().positive(),
    kvCapacityBytes: positive.default(1),
    state: z.enum(["serving", "leaving"]).default("serving"),
    checksFencing: z.boolean().default(true),
});

/** A route to a pool of plain services. An `open` route requires no key and is not rate limited. */
const routeSchema = z.strictObject({
    method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]),
    path: z.string().startsWith("/", "expected a path that starts with '/'"),
    pool: name,
    idempotent: z.boolean(),
    open: z.boolean().default(false),
    timeoutMs: z.number().int().positive().default(10_000),
});

/** The schema of each kind of object. */
export const objectSchemas = {
    template: templateSchema,
    account: accountSchema,
    key: keySchema,
    pool: poolSchema,
    endpoint: endpointSchema,
    route: routeSchema,
} as const;

export type ObjectKind = keyof typeof objectSchemas;
export const objectKinds = Object.keys(objectSchemas) as readonly ObjectKind[];

export type Template = Readonly<z.output<typeof templateSchema>>;
export type Account = Readonly<z.output<typeof accountSchema>>;
export type Key = Readonly<z.output<typeof keySchema>>;
export type Pool = Readonly<z.output<typeof poolSchema>>;
export type Endpoint = Readonly<z.output<typeof endpointSchema>>;
export type Route = Readonly<z.output<typeof routeSchema>>;
export type ConfigObject = Template | Account | Key | Pool | Endpoint | Route;
/** Whether a caller is waiting for the result or the request may be deferred. */
export type RequestClass = "interactive" | "deferrable";

/** Kinds and names of the objects that an object refers to. */
export function referencesOf(kind: ObjectKind, value: ConfigObject): readonly (readonly [ObjectKind, string])[] {
    switch (kind) {
        case "account":
            return [["template", (value as Account).template]];
        case "key":
            return [["account", (value as Key).clientAccount]];
        case "endpoint":
            return [["pool", (value as Endpoint).pool]];
        case "route":
            return [["pool", (value as Route).pool]];
        default:
            return [];
    }
}

/** An account's effective limits: its own parameters, with defaults from its template. */
export interface AccountLimits {
    readonly ratePerSecond: number;
    readonly burstRequests: number;
    readonly weight: number;
    readonly deferrableModels: readonly string[];
}

/** Takes the parameters that an account does not set from its template. */
export function resolveAccount(account: Account, template: Template): AccountLimits {
    return {
        ratePerSecond: account.ratePerSecond ?? template.ratePerSecond,
        burstRequests: account.burstRequests ?? template.burstRequests,
        weight: account.weight ?? template.weight,
        deferrableModels: account.deferrableModels ?? template.deferrableModels,
    };
}
