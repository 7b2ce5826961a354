import type { MarigoldstallError } from "@marigoldstall/core.error";
import type { AppendResult } from "@marigoldstall/platform.log-client";
import type { StreamRead } from "./stream-read.js";

/** Events of publishing: the results of its effects. */
export type PublishEvent =
    | { readonly type: "log-read"; readonly read: StreamRead; }
    | { readonly type: "log-failed"; readonly error: MarigoldstallError; }
    | { readonly type: "append-finished"; readonly result: AppendResult; };
