import type { RequestState } from "./request-state.js";

const BUCKET_COUNT = 256;
const HASHED_CHARACTERS = 8;

const bucketOf = (requestId: string): number => {
    let hash = 0;
    // Request ids differ in their last characters.
    for (let index = Math.max(0, requestId.length - HASHED_CHARACTERS); index < requestId.length; index += 1) {
        hash = Math.imul(hash, 31) + requestId.charCodeAt(index) | 0;
    }
    return (hash ^ hash >>> 8 ^ hash >>> 16) & BUCKET_COUNT - 1;
};

/**
 * Persistent hash table of requests by id. An update copies the bucket array and one bucket, which for some thousands
 * of requests takes a fraction of the time of a general persistent map.
 */
export class RequestTable {
    static readonly empty = new RequestTable(new Array<readonly RequestState[]>(BUCKET_COUNT).fill([]));

    private readonly buckets: readonly (readonly RequestState[])[];

    private constructor(buckets: readonly (readonly RequestState[])[]) {
        this.buckets = buckets;
    }

    get(requestId: string): RequestState | undefined {
        return this.buckets[bucketOf(requestId)]?.find(request => request.requestId === requestId);
    }

    with(request: RequestState): RequestTable {
        return this.replace(request.requestId, request);
    }

    without(requestId: string): RequestTable {
        return this.replace(requestId, undefined);
    }

    values(): readonly RequestState[] {
        return this.buckets.flat();
    }

    private replace(requestId: string, request: RequestState | undefined): RequestTable {
        const index = bucketOf(requestId);
        const bucket = (this.buckets[index] ?? []).filter(other => other.requestId !== requestId);
        if (request !== undefined) {
            bucket.push(request);
        }
        const buckets = this.buckets.slice();
        buckets[index] = bucket;
        return new RequestTable(buckets);
    }
}
