/** Arguments and options of one call, after the parser has checked them against the command's definition. */
export interface CommandInput {
    readonly arguments: readonly string[];
    /** Values by the long name of the option in camel case; flags are `true`. */
    readonly options: Readonly<Record<string, string | number | true | undefined>>;
}
