/** One option of a command. */
export interface CommandOption {
    /** Long name with its value, such as `--wait-timeout-ms <N>`. */
    readonly flags: string;
    readonly help: string;
    /** Whole number of at least this value; without it the value is a text. */
    readonly minimum?: number;
    readonly defaultValue?: number;
}
