import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

type CollectGarbage = (opts?: { readonly type: "minor"; }) => void;

/** Returns a function that runs the garbage collector, or one without effect where V8 offers none. */
export const createGarbageCollector = (): (scope: "young" | "all") => void => {
    let collect: CollectGarbage | undefined;
    return scope => {
        if (collect === undefined) {
            setFlagsFromString("--expose-gc");
            collect = runInNewContext("globalThis.gc") as CollectGarbage | undefined;
        }
        collect?.(scope === "young" ? { type: "minor" } : undefined);
    };
};
