/**
 * The queues of the decode scheduler: one for each choice of engines, so that no request waits behind one that needs other
 * engines.
 */

import type { Stage } from "../engines/enginePort.js";
import { createDecodeQueue } from "./decodeQueue.js";
import type { DecodeQueue, QueuedRequest } from "./decodeQueue.js";

/** Which engines a request may use: all of a service, or those of one software version or of some regions. */
export interface EngineChoice {
    readonly service: string;
    /** `undefined` for all versions. */
    readonly softwareVersion: string | undefined;
    /** `undefined` for all regions. */
    readonly homeRegions: readonly string[] | undefined;
}

export interface EngineQueue<Item extends QueuedRequest> {
    readonly choice: EngineChoice;
    readonly pending: DecodeQueue<Item>;
    /** KV memory of one engine of the service. */
    kvTokens: number;
    /** Stage whose engines had no room for the queued requests when they were last tried; `undefined` if none waits. */
    shortStage: Stage | undefined;
    isProcessing: boolean;
    wake: () => void;
}

export interface EngineQueues<Item extends QueuedRequest> {
    /** The queue of a choice; created if there is none. */
    readonly queueOf: (choice: EngineChoice) => EngineQueue<Item>;
    readonly all: () => readonly EngineQueue<Item>[];
    /** Forgets an empty queue of one version or of some regions, since these come and go. */
    readonly removeIfOfVersion: (queue: EngineQueue<Item>) => void;
}

function keyOf({ service, softwareVersion, homeRegions }: EngineChoice): string {
    return JSON.stringify([service, softwareVersion, homeRegions]);
}

export function createEngineQueues<Item extends QueuedRequest>(): EngineQueues<Item> {
    const queues = new Map<string, EngineQueue<Item>>();
    return {
        queueOf: ({ service, softwareVersion, homeRegions }) => {
            const choice: EngineChoice = { service, softwareVersion, homeRegions };
            const existing = queues.get(keyOf(choice));
            if (existing !== undefined) {
                return existing;
            }
            const created: EngineQueue<Item> = {
                choice,
                pending: createDecodeQueue(),
                kvTokens: 0,
                shortStage: undefined,
                isProcessing: false,
                wake: () => undefined,
            };
            queues.set(keyOf(choice), created);
            return created;
        },
        all: () => [...queues.values()],
        removeIfOfVersion: ({ choice }) => {
            if (choice.softwareVersion !== undefined || choice.homeRegions !== undefined) {
                queues.delete(keyOf(choice));
            }
        },
    };
}
