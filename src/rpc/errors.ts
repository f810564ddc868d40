/**
 * Errors of RPC calls between processes.
 *
 * `delivered` says whether the called process may have executed the request: it is "no" only where no byte of the
 * request can have reached that process, or where that process says that it has closed the connection before.
 */

export type RpcError =
    | { readonly kind: "unreachable"; readonly delivered: "no"; readonly cause: string; }
    | { readonly kind: "interrupted"; readonly delivered: "maybe"; readonly cause: string; }
    | { readonly kind: "timeout"; readonly delivered: "maybe"; readonly cause: string; }
    | { readonly kind: "rejected"; readonly delivered: "yes"; readonly code: number; readonly cause: string; };

/** Codes of JSON-RPC for calls that reached no method: invalid JSON, request, method or parameters. */
const notInvokedCodes: ReadonlySet<number> = new Set([-32_700, -32_600, -32_601, -32_602]);

/** Whether the called process ran no method; one that has thrown another error may have run in part. */
export function provesNotInvoked({ code }: Extract<RpcError, { readonly kind: "rejected"; }>): boolean {
    return notInvokedCodes.has(code);
}

const notDeliveredCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Converts an error thrown by the HTTP client into an `RpcError`. */
export function toRpcError(error: unknown, timedOut: boolean): RpcError {
    const cause = error instanceof Error ? error.message : String(error);
    if (timedOut) {
        return { kind: "timeout", delivered: "maybe", cause };
    }
    const code = (error as { readonly code?: string; }).code ?? "";
    if (notDeliveredCodes.has(code)) {
        return { kind: "unreachable", delivered: "no", cause };
    }
    return { kind: "interrupted", delivered: "maybe", cause };
}
