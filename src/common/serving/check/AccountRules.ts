/** Rules about client accounts. No message contains an API key: keys are secrets. */
import { quote } from './Quote.js';
import type { Finding, Rule } from './Types.js';

/** Finds API keys that two accounts have, that an account repeats, or that are empty. */
export const findRepeatedKeys: Rule = ({ accounts = [] }) => {
  const owners = new Map<string, number>();
  return accounts.flatMap(({ apiKeys }, account) =>
    apiKeys.flatMap((key, index): Finding[] => {
      const path = ['accounts', account, 'apiKeys', index];
      if (key === '') {
        const message = 'the API key is empty, so no request has it';
        return [{ rule: 'key-empty', severity: 'error', path, message }];
      }
      const owner = owners.get(key);
      owners.set(key, owner ?? account);
      if (owner === undefined) return [];
      if (owner === account) {
        const message = 'the account has this API key twice';
        return [{ rule: 'key-repeated', severity: 'warning', path, message }];
      }
      const message = `account ${quote(accounts[owner]?.name ?? '')} has the same API key`;
      return [{ rule: 'key-of-two-accounts', severity: 'error', path, message }];
    }),
  );
};

/** Finds accounts without an API key, which no request can belong to. */
export const findMissingKeys: Rule = ({ accounts = [] }) =>
  accounts.flatMap(({ name, apiKeys }, index): Finding[] => {
    if (apiKeys.length > 0) return [];
    const path = ['accounts', index];
    const message = `account ${quote(name)} has no API key, so no request can belong to it`;
    return [{ rule: 'account-without-key', severity: 'warning', path, message }];
  });
