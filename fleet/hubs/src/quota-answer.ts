import type { AdmissionVerdict } from "@marigoldstall/routing.quotas";

/** Answer to a quota query. An admitted request counts as used, whether the answer arrives or not. */
export interface QuotaAnswer {
    readonly type: "quota-answer";
    readonly requestKey: string;
    readonly verdict: AdmissionVerdict;
    readonly retryAfterMs: number;
}
