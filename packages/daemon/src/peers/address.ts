/** Addresses that come from outside, as an entry or a message states them. */
import { isIPv4 } from "node:net";
import { z } from "zod";

const MAXIMUM_PORT = 65_535;
const ADDRESS = /^([^:]+):(\d{1,5})$/;

/** Address of a host, without a port. */
export const ipSchema = z.string().refine(isIPv4, "The address is not an IPv4 address.");

/** `IP:PORT` to which a connection can be opened. */
export const addressSchema = z.string().refine(text => {
    const [, ip = "", port = "0"] = ADDRESS.exec(text) ?? [];
    return isIPv4(ip) && Number(port) > 0 && Number(port) <= MAXIMUM_PORT;
}, "The address is not an IPv4 address and a port.");
