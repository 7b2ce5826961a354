import type { BodyBytes } from "./body-bytes.js";
import { SegmentedBody } from "./segmented-body.js";

/** Returns the buffers of a body in their order, without a copy. */
export const listSegments = (body: BodyBytes): readonly Buffer[] =>
    body instanceof SegmentedBody ? body.segments : [body.subarray(0)];
