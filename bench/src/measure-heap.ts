import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Returns the heap bytes that the result of a function retains. */
export const measureHeap = (build: () => unknown): number => {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const retained = [build()];
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - before;
    retained.length = 0;
    return bytes;
};
