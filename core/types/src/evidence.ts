import type { EvidenceKind } from "./evidence-kind.js";

/** An observation of one backend server instance that daemons share with each other. */
export interface Evidence {
    readonly service: string;
    readonly address: string;
    readonly instanceId: string;
    readonly kind: EvidenceKind;
    readonly observedBy: string;
}
