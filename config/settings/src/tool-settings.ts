/** Settings of the command-line tool. Addresses consist of an IP address and a port. */
export interface ToolSettings {
    readonly operator: { readonly name: string; };
    readonly platform: { readonly log: string; readonly vmList: string; };
    readonly security: { readonly controlKey: string; };
}
