/** Parsed and validated arguments and options of a command. */
export interface CommandInput {
    readonly arguments: readonly string[];
    /** Values by the long option name in camel case. Flags are `true`. */
    readonly options: Readonly<Record<string, string | number | true | undefined>>;
}
