import type { ToolSettings } from "@marigoldstall/config.settings";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { VmListClient } from "@marigoldstall/platform.vm-list-client";
import type { DaemonClient } from "./daemon-client.js";

/** Settings of the tool, and the clients of the platform and the daemons. */
export interface Connections {
    readonly settings: ToolSettings;
    readonly log: LogClient;
    readonly vmList: VmListClient;
    readonly daemons: DaemonClient;
}
