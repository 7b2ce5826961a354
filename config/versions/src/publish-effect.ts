import type { PublishOutcome } from "./publish-outcome.js";

/** Effects of publishing. */
export type PublishEffect =
    | { readonly type: "read-log"; readonly from: number; readonly delayMs: number; }
    | { readonly type: "append-record"; readonly value: unknown; readonly delayMs: number; }
    | { readonly type: "finish"; readonly outcome: PublishOutcome; };
