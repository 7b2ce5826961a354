/** Value of a header that must occur once; undefined when it is absent or repeated. */
export const singleHeader = (value: string | readonly string[] | undefined): string | undefined =>
    typeof value === "string" ? value : undefined;
