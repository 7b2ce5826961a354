import type { BackendServer } from "@marigoldstall/core.types";

/** Age of a server's load report, in milliseconds, from which on this VM probes it. */
export type ProbeDueAge = (server: BackendServer, limitPerSecond: number | undefined) => number;
