import type { LoadReport } from "@marigoldstall/core.types";
import type { WarmUpUpdate } from "./warm-up-update.js";

/** A load report of a backend server and its age when the message was sent. */
export interface LoadUpdate {
    readonly instanceId: string;
    readonly load: LoadReport;
    readonly ageMs: number;
    /** Undefined if the server has not stated it, or its requests are not limited while it is cold. */
    readonly warmUp?: WarmUpUpdate | undefined;
}
