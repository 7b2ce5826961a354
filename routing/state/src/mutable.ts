/** Mutable copy of read-only state, used within one call of the reducer. */
export type Mutable<T> = { -readonly [Key in keyof T]: T[Key]; };
