package dappleseam.drill;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dappleseam.router.Deployment;
import dappleseam.router.ServiceGrade;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads the settings of one instance from their JSON text. */
final class DeploymentReader {
    private static final double MS_PER_S = 1000;

    private final ObjectMapper mapper = new ObjectMapper();

    Deployment read(byte[] json) {
        JsonNode root;
        try {
            root = mapper.readTree(json);
        } catch (JsonProcessingException e) {
            throw new MalformedFrameException("settings are not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new MalformedFrameException("settings are not JSON: " + e.getMessage());
        }
        JsonNode ceilings = need(root, "ceilings");
        JsonNode rules = need(root, "rules");
        JsonNode extra = root.path("extra");
        List<ServiceGrade> grades = new ArrayList<>();
        for (JsonNode grade : need(root, "serviceGrades")) {
            grades.add(grade(grade));
        }
        if (grades.isEmpty()) {
            throw new MalformedFrameException("settings: serviceGrades is empty");
        }
        boolean retryAfter = ceilings.path("retryAfter").asBoolean();
        boolean onRequest = root.path("membershipMode").asText().equals("on_request");
        String scale = root.path("weightSource").asText();
        return new Deployment(
                List.copyOf(grades),
                Math.max(1, root.path("balancers").asInt(1)),
                extra.path("mode").asText().equals("aside") ? extra.path("originKind").asInt(-1) : -1,
                scale.equals("nominal") || scale.equals("rough"),
                root.path("tickS").asDouble() * MS_PER_S,
                (int) number(ceilings, "mostExecutions"),
                ceilings.path("parallelTries").asBoolean(),
                ceilings.path("mayCancel").asBoolean(),
                retryAfter ? ceilings.path("maxRetryAfterS").asDouble() * MS_PER_S : 0,
                onRequest ? number(rules, "askEveryS") * MS_PER_S : 0,
                number(rules, "coldFrom"),
                number(rules, "warmAfterS") * MS_PER_S,
                root.path("penalties").path("connection").asDouble(),
                root.path("penalties").path("handshake").asDouble());
    }

    private static ServiceGrade grade(JsonNode grade) {
        return new ServiceGrade(
                switch (need(grade, "semantics").asText()) {
                    case "read_like" -> ServiceGrade.Repeat.IDEMPOTENT;
                    case "idempotency_key" -> ServiceGrade.Repeat.DEDUPLICATED;
                    default -> ServiceGrade.Repeat.NON_IDEMPOTENT;
                },
                switch (grade.path("group").asText()) {
                    case "all" -> ServiceGrade.Group.ALL;
                    case "zone" -> ServiceGrade.Group.ZONE;
                    default -> ServiceGrade.Group.CELL;
                },
                grade.path("windowS").asDouble() * MS_PER_S,
                number(grade, "sloTimeS") * MS_PER_S,
                grade.path("importance").asDouble(1),
                grade.path("tardyImportance").asDouble(),
                grade.path("stream").asBoolean());
    }

    private static JsonNode need(JsonNode node, String name) {
        JsonNode found = node.get(name);
        if (found == null || found.isNull()) {
            throw new MalformedFrameException("settings lack " + name);
        }
        return found;
    }

    private static double number(JsonNode node, String name) {
        JsonNode found = need(node, name);
        if (!found.isNumber()) {
            throw new MalformedFrameException("settings: " + name + " is not a number");
        }
        return found.asDouble();
    }
}
