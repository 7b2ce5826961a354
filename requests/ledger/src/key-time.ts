import { validate, version } from "uuid";

/** Time stamp inside a UUIDv7, in Unix milliseconds. Undefined when the key is not a UUIDv7. */
export const keyTime = (key: string): number | undefined =>
    validate(key) && version(key) === 7 ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined;
