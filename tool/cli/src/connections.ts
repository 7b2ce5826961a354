import type { ToolSettings } from "@marigoldstall/config.settings";
import type { LogClient } from "@marigoldstall/platform.log-client";
import type { VmListClient } from "@marigoldstall/platform.vm-list-client";
import type { DaemonClient } from "./daemon-client.js";

/** The tool's settings and its clients of the platform and the daemons. */
export interface Connections {
    readonly settings: ToolSettings;
    readonly log: LogClient;
    readonly vmList: VmListClient;
    readonly daemons: DaemonClient;
}
