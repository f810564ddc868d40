/**
 * The public surface of gooseberrywell as a library.
 */

export { startEntry } from "./daemon/entry.js";
export type { EntryOptions, RunningEntry } from "./daemon/entry.js";
export { startAgent } from "./endpoint/agent.js";
export type { AgentSettings, RunningAgent } from "./endpoint/agent.js";
export { createHttpPlatform } from "./platform/httpPlatform.js";
export { createMemoryPlatform } from "./platform/memoryPlatform.js";
export type {
    HostList,
    HostRecord,
    ObjectStore,
    Platform,
    PlatformError,
    TableService,
    Transaction,
} from "./platform/ports.js";
export { defaultPolicies } from "./routing/choose.js";
export type { ChoicePolicy, RoutingPolicies } from "./routing/choose.js";
export { describeSettingsError, parseSettings } from "./settings/settings.js";
export type { Settings, SettingsError } from "./settings/settings.js";
export { createTelemetry, silentTelemetry } from "./telemetry/telemetry.js";
export type { Telemetry } from "./telemetry/telemetry.js";
export { version } from "./version.js";
