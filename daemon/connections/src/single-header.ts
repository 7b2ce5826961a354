/** Returns the value of a header, or undefined if it is absent or repeated. */
export const singleHeader = (value: string | readonly string[] | undefined): string | undefined =>
    typeof value === "string" ? value : undefined;
