import type { ToolSettings } from "@marigoldstall/config.settings";
import type { Connections } from "./connections.js";

/** The process around the tool; tests replace it. */
export interface ToolEnvironment {
    readonly variables: Readonly<Record<string, string | undefined>>;
    readonly readFile: (path: string) => Promise<string>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    readonly open: (settings: ToolSettings) => Omit<Connections, "settings">;
    readonly nowMs: () => number;
    readonly delay: (ms: number) => Promise<void>;
    readonly createUniqueId: () => string;
}
