import type { LoadReport } from "@marigoldstall/core.types";

/** A load report of a backend server, with its age when it was told. */
export interface LoadNews {
    readonly instanceId: string;
    readonly load: LoadReport;
    readonly ageMs: number;
}
