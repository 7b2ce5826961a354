import type { GuaranteeStatus } from "./guarantee-status.js";

/** Result of checking one guarantee of section 1 of the design page. */
export interface GuaranteeResult {
    readonly number: number;
    readonly title: string;
    readonly status: GuaranteeStatus;
    readonly detail: string;
}
