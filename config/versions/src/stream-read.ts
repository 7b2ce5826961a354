import type { LogRead } from "@marigoldstall/platform.log-client";

/** A read of the `configuration` stream, with the offset that it asked for. */
export interface StreamRead extends LogRead {
    readonly from: number;
}
