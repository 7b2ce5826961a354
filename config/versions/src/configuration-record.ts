import type { PublishRecord } from "./publish-record.js";
import type { Snapshot } from "./snapshot.js";

/** A valid record of the `configuration` stream. */
export type ConfigurationRecord =
    | { readonly type: "publish"; readonly publish: PublishRecord; }
    | { readonly type: "snapshot"; readonly snapshot: Snapshot; };
