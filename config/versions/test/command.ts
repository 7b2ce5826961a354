/** One step of the fleet model. */
export type Command =
    | { readonly op: "publish" | "resume" | "land" | "restart" | "snapshot" | "repeat"; readonly which: number; }
    | {
        readonly op: "step";
        readonly which: number;
        readonly fault: "none" | "lost" | "late" | "refused";
        readonly back: number;
    }
    | { readonly op: "read"; readonly which: number; readonly limit: number; readonly back: number; }
    | { readonly op: "truncate"; readonly count: number; }
    | { readonly op: "gossip"; readonly which: number; readonly from: number; };
