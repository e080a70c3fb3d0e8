package org.knapweedhatch.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.math.BigInteger;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.world.ClientBlock;

class ClientTableTest {

    @Test
    void longestMatchingBlockWins() {
        ClientTable table = ClientTable.of(List.of(
                new ClientBlock("10.0.0.0/8", "lima"),
                new ClientBlock("10.1.0.0/16", "arequipa"),
                new ClientBlock("2001:db8::/32", "trujillo")));
        assertEquals(Optional.of("arequipa"), table.region("10.1.255.255"));
        assertEquals(Optional.of("lima"), table.region("10.2.0.0"));
        assertEquals(Optional.of("trujillo"), table.region("2001:db8::1"));
        assertEquals(Optional.empty(), table.region("11.0.0.0"));
    }

    @Test
    void withdrawnBlockUncoversTheShorterOne() {
        ClientTable table = ClientTable.of(
                List.of(new ClientBlock("0.0.0.0/0", "lima"), new ClientBlock("255.255.255.255/32", "arequipa")));
        assertEquals(Optional.of("arequipa"), table.region("255.255.255.255"));
        assertEquals(
                Optional.of("lima"),
                table.with(List.of(), List.of("255.255.255.255/32")).region("255.255.255.255"));
    }

    @Test
    void hostNamesAndOverlongBlocksAreRejected() {
        assertThrows(
                IllegalArgumentException.class, () -> ClientTable.of(List.of()).region("localhost"));
        List<ClientBlock> tooLong = List.of(new ClientBlock("2001:db8::/65", "lima"));
        assertThrows(IllegalArgumentException.class, () -> ClientTable.of(tooLong));
    }

    @Property(tries = 300, seed = "51")
    void matchesALinearSearchOfAllBlocks(@ForAll long seed) throws UnknownHostException {
        Random random = new Random(seed);
        Map<String, String> blocks = new HashMap<>();
        ClientTable table = ClientTable.of(List.of());
        for (int round = 0; round < 3; round++) {
            List<ClientBlock> changed = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                ClientBlock block = new ClientBlock(randomCidr(random), "region-" + random.nextInt(4));
                changed.add(block);
            }
            List<String> withdrawn = blocks.keySet().stream()
                    .filter(cidr -> random.nextInt(4) == 0)
                    .filter(cidr -> changed.stream().noneMatch(b -> b.cidr().equals(cidr)))
                    .toList();
            withdrawn.forEach(blocks::remove);
            changed.forEach(block -> blocks.put(block.cidr(), block.region()));
            table = table.with(changed, withdrawn);
        }
        for (int i = 0; i < 50; i++) {
            String ip = random.nextInt(8) + "." + random.nextInt(4) + "." + random.nextInt(4) + "." + random.nextInt(4);
            assertEquals(linearSearch(blocks, ip), table.region(ip));
        }
    }

    private static String randomCidr(Random random) {
        int length = 5 + random.nextInt(28);
        int address =
                (random.nextInt(8) << 24) | (random.nextInt(4) << 16) | (random.nextInt(4) << 8) | random.nextInt(4);
        int masked = address & (-1 << (32 - length));
        return (masked >>> 24) + "." + (masked >>> 16 & 255) + "." + (masked >>> 8 & 255) + "." + (masked & 255) + "/"
                + length;
    }

    private static Optional<String> linearSearch(Map<String, String> blocks, String ip) throws UnknownHostException {
        BigInteger address = new BigInteger(1, InetAddress.getByName(ip).getAddress());
        int best = -1;
        String region = null;
        for (Map.Entry<String, String> block : blocks.entrySet()) {
            String[] parts = block.getKey().split("/");
            int length = Integer.parseInt(parts[1]);
            BigInteger start = new BigInteger(1, InetAddress.getByName(parts[0]).getAddress());
            if (address.shiftRight(32 - length).equals(start.shiftRight(32 - length)) && length > best) {
                best = length;
                region = block.getValue();
            }
        }
        return Optional.ofNullable(region);
    }
}
