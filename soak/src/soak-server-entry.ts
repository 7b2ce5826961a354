import type { PlatformServer } from "@marigoldstall-private/platform";
import type { FaultProxy } from "./fault-proxy.js";

/** A backend server of the soak test behind its proxy. */
export interface SoakServerEntry {
    readonly server: PlatformServer;
    readonly proxy: FaultProxy;
    readonly proxyPort: number;
    readonly zone: string;
    readonly startedAtUnixMs: number;
}
