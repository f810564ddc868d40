/**
 * The public API of gooseberrywell as a library.
 */

export { startEntry } from "./daemon/entry.js";
export type { EntryOptions, RunningEntry } from "./daemon/entry.js";
export { startForwardingEntry } from "./daemon/forwardingEntry.js";
export type { ForwardingEntry, ForwardingPorts } from "./daemon/forwardingEntry.js";
export type { ForwardingSettings } from "./daemon/forwardingSettings.js";
export { startAgent } from "./endpoint/agent.js";
export type { AgentSettings, RunningAgent } from "./endpoint/agent.js";
export type { EngineError, EnginePort, EngineRecord, EngineResponse } from "./engines/enginePort.js";
export type { TableFeed } from "./peerSync/tableReplica.js";
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
export type { DesiredState } from "./routes/desiredState.js";
export { defaultPolicies } from "./routing/choose.js";
export type { ChoicePolicy, RoutingPolicies } from "./routing/choose.js";
export { describeSettingsError, parseSettings } from "./settings/settings.js";
export type { Settings, SettingsError } from "./settings/settings.js";
export { createTelemetry, silentTelemetry } from "./telemetry/telemetry.js";
export type { Telemetry } from "./telemetry/telemetry.js";
export { version } from "./version.js";
