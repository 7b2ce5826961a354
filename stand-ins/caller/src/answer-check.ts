/** Whether the body of an answer fits its call. `none`: there was no body of a backend server to check. */
export type AnswerCheck = "own" | "foreign" | "damaged" | "none";
