/** Whether a guarantee held; `not checked` means that the run had no data to check it against. */
export type GuaranteeStatus = "held" | "not held" | "not checked";
