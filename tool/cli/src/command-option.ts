/** Definition of a command-line option. */
export interface CommandOption {
    /** Long name with the placeholder of its value, such as `--wait-timeout-ms <N>`. */
    readonly flags: string;
    readonly help: string;
    /** Smallest allowed integer. Without it, the value is not parsed as a number. */
    readonly minimum?: number;
    readonly defaultValue?: number;
}
