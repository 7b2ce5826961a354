/** Result of checking one promise. */
export type Verdict = "held" | "not held" | "not checked";
