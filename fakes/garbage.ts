/**
 * Collects garbage in this process, to show that something is held that must be.
 */

import { setTimeout as delay } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const collectionIntervalMs = 20;

/** Runs full garbage collections until the promise is settled. */
export async function collectGarbageDuring<Value>(promise: Promise<Value>): Promise<Value> {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    let isSettled = false;
    const settle = (): void => {
        isSettled = true;
    };
    promise.then(settle, settle);
    while (!isSettled) {
        await delay(collectionIntervalMs);
        collect();
    }
    return promise;
}
