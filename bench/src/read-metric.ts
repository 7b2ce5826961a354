/** Returns the sum of a metric over all its label values, or undefined if the daemon does not expose it. */
export const readMetric = async (
    operatorAddress: string,
    opts: { readonly name: string; },
): Promise<number | undefined> => {
    const text = await (await fetch(`http://${operatorAddress}/metrics`)).text();
    const values = text.split("\n")
        .filter(line => line.startsWith(`${opts.name} `) || line.startsWith(`${opts.name}{`))
        .map(line => Number(line.slice(line.lastIndexOf(" ") + 1)));
    return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0);
};
