import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Bytes of heap that the result of a function holds. */
export const measureHeap = (build: () => unknown): number => {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const kept = [build()];
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - before;
    kept.length = 0;
    return bytes;
};
