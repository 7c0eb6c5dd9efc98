import { z } from 'zod';

const MAX_PORT = 65_535;

const IpAddress = z.union([z.ipv4(), z.ipv6()]);

/**
 * `ip:port` to which a connection can be opened or a datagram sent, with IPv6 addresses in brackets.
 * Sockets throw if they are given another address, so it is checked where it is read.
 */
export const EndpointAddress = z.string().refine((address) => {
  const [, ipv4, ipv6, port] = /^(?:([\d.]+)|\[([^\]]+)\]):(\d{1,5})$/.exec(address) ?? [];
  const isPort = Number(port) > 0 && Number(port) <= MAX_PORT;
  return isPort && IpAddress.safeParse(ipv4 ?? ipv6).success;
}, 'expected IP:PORT');
export type EndpointAddress = z.infer<typeof EndpointAddress>;
