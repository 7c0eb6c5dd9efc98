/** Address of a listening socket. */
export interface SocketAddress {
  readonly ip: string;
  readonly port: number;
}

/**
 * @param address - `ip:port`
 * @returns its parts
 */
export function parseSocketAddress(address: string): SocketAddress {
  const separator = address.lastIndexOf(':');
  return { ip: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
