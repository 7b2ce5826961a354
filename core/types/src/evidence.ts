import type { EvidenceKind } from "./evidence-kind.js";

/** A fact about one instance of a backend server that daemons tell each other. */
export interface Evidence {
    readonly service: string;
    readonly address: string;
    readonly instanceId: string;
    readonly kind: EvidenceKind;
    readonly observedBy: string;
}
