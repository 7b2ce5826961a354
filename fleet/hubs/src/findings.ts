import type { LeavingFinding } from "./leaving-finding.js";
import type { LimitFinding } from "./limit-finding.js";
import type { SuspectFinding } from "./suspect-finding.js";

/** What VMs have learned from backend servers and every VM has to know. */
export interface Findings {
    readonly limits: readonly LimitFinding[];
    readonly leaving: readonly LeavingFinding[];
    readonly suspects: readonly SuspectFinding[];
}
