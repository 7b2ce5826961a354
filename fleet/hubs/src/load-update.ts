import type { LoadReport } from "@marigoldstall/core.types";

/** A load report of a backend server and its age when the message was sent. */
export interface LoadUpdate {
    readonly instanceId: string;
    readonly load: LoadReport;
    readonly ageMs: number;
}
