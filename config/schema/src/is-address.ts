import { isIP } from "node:net";

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):([1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

/** Whether the text is an IP address and a port, such as `127.0.0.1:7000` or `[::1]:7000`. */
export const isAddress = (text: string): boolean => {
    const match = ADDRESS_PATTERN.exec(text);
    if (!match) {
        return false;
    }
    const [, ipv6, ipv4, port] = match;
    const isHostValid = ipv6 === undefined ? isIP(ipv4 ?? "") === 4 : isIP(ipv6) === 6;
    return isHostValid && Number(port) <= MAX_PORT;
};
