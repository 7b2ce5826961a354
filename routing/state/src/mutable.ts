/** A working copy of read-only data, used inside one call of the reducer. */
export type Mutable<T> = { -readonly [Key in keyof T]: T[Key]; };
