import type { ToolSettings } from "@marigoldstall/config.settings";
import type { Connections } from "./connections.js";

/** Process environment of the tool, which tests replace. */
export interface ToolEnvironment {
    readonly env: Readonly<Record<string, string | undefined>>;
    readonly readFile: (path: string) => Promise<string>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    readonly createClients: (settings: ToolSettings) => Omit<Connections, "settings">;
    readonly nowMs: () => number;
    readonly delay: (ms: number) => Promise<void>;
    readonly createUniqueId: () => string;
}
