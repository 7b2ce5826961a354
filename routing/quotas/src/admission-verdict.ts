/** Whether a request is within the quota of its tenant. `unknown`: nobody answered who could tell. */
export type AdmissionVerdict = "admitted" | "exceeded" | "unknown";
